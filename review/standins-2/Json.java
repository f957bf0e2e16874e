import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and nulls. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? new LinkedHashMap<>() : (Map<String, Object>) read(text);
    }

    /** Returns a map of the given names and values, in turn. */
    static Map<String, Object> of(Object... entries) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int index = 0; index < entries.length; index += 2) map.put((String) entries[index], entries[index + 1]);
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        append(out, value);
        return out.toString();
    }

    private static void append(StringBuilder out, Object value) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                append(out, entry.getKey());
                out.append(':');
                append(out, entry.getValue());
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object item : list) {
                out.append(separator);
                append(out, item);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char character : string.toCharArray()) {
                if (character == '"' || character == '\\') out.append('\\').append(character);
                else if (character < ' ') out.append(String.format("\\u%04x", (int) character));
                else out.append(character);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(position))) position++;
        return text.charAt(position);
    }

    private Object value() {
        char first = next();
        if (first == '{') return map();
        if (first == '[') return list();
        if (first == '"') return string();
        int start = position;
        while (position < text.length() && ",]} \t\r\n".indexOf(text.charAt(position)) < 0) position++;
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        position++;
        while (next() != '}') {
            if (text.charAt(position) == ',') position++;
            next();
            String name = string();
            next();
            position++;
            map.put(name, value());
        }
        position++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        position++;
        while (next() != ']') {
            if (text.charAt(position) == ',') position++;
            list.add(value());
        }
        position++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char character = text.charAt(position++);
            if (character == '\\') {
                char escaped = text.charAt(position++);
                switch (escaped) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'b' -> out.append('\b');
                    case 'f' -> out.append('\f');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                        position += 4;
                    }
                    default -> out.append(escaped);
                }
            } else {
                out.append(character);
            }
        }
        position++;
        return out.toString();
    }
}
