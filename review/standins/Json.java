import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, doubles and booleans. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parseObject(String text) {
        return (Map<String, Object>) parse(text);
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    static Map<String, Object> object(Object... namesAndValues) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) result.put((String) namesAndValues[i], namesAndValues[i + 1]);
        return result;
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            for (Iterator<? extends Map.Entry<?, ?>> it = map.entrySet().iterator(); it.hasNext(); ) {
                Map.Entry<?, ?> entry = it.next();
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                if (it.hasNext()) out.append(',');
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (int i = 0; i < list.size(); i++) {
                if (i > 0) out.append(',');
                write(list.get(i), out);
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else if (value instanceof Double number && number == Math.rint(number)) {
            out.append(number.longValue());
        } else {
            out.append(value);
        }
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(position);
        if (c == '{') return objectValue();
        if (c == '[') return listValue();
        if (c == '"') return string();
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) position++;
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> result = new LinkedHashMap<>();
        position++;
        while (true) {
            skipSpace();
            if (text.charAt(position) == '}') {
                position++;
                return result;
            }
            if (text.charAt(position) == ',') {
                position++;
                continue;
            }
            String name = string();
            skipSpace();
            position++;
            result.put(name, value());
        }
    }

    private List<Object> listValue() {
        List<Object> result = new ArrayList<>();
        position++;
        while (true) {
            skipSpace();
            if (text.charAt(position) == ']') {
                position++;
                return result;
            }
            if (text.charAt(position) == ',') {
                position++;
                continue;
            }
            result.add(value());
        }
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char c = text.charAt(position++);
            if (c == '\\') {
                char escaped = text.charAt(position++);
                switch (escaped) {
                    case 'n' -> result.append('\n');
                    case 't' -> result.append('\t');
                    case 'r' -> result.append('\r');
                    case 'b' -> result.append('\b');
                    case 'f' -> result.append('\f');
                    case 'u' -> {
                        result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                        position += 4;
                    }
                    default -> result.append(escaped);
                }
            } else {
                result.append(c);
            }
        }
        position++;
        return result.toString();
    }

    private void skipSpace() {
        while (position < text.length() && " \n\r\t".indexOf(text.charAt(position)) >= 0) position++;
    }
}
